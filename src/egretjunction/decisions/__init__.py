"""Decision logic without input or output; time and randomness are passed in."""
