"""The phase that this process is in, and the pacing of moves of its connections."""
