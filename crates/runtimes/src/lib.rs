//! How long a job will run, learned from similar past jobs and mergeable between dispatchers; no clock
