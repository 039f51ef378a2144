"""What passes between balancers, where an operator file says that they may talk to each other."""
