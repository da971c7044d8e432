//! Who is there, and the facts that members carry for each other; no sockets, no clock
