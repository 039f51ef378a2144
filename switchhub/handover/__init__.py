"""A new version beside the running process: what passes between the two."""
