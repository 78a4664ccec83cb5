"""What must survive a crash and a disk that lies."""
