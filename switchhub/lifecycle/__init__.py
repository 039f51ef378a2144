"""What this process is, and how it gives its connections away."""
