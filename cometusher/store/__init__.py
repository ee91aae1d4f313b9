"""Records on disk that outlive their process; imported only where a fleet stores state."""
