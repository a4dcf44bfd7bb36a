"""What answers and reports teach: ExecTime, work, memory needed, load."""
