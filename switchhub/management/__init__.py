"""HTTP interface for operators: health check, drain, and metrics."""
