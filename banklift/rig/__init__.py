"""Several real processes of the program, with relays and faults between them, judged from outside."""
