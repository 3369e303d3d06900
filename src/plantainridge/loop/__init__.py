"""What every process with a reducer is made of."""
