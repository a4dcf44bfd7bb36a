"""Final answers, attempts and their outcomes, repeats."""
