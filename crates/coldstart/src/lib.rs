//! Who asks discovery when, and what of a worker is rationed at a start; no sockets, no clock
