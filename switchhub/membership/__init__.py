"""Who else is there: SWIM with its published refinements, pure."""
