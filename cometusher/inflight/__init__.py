"""Work in hand that outlives its process: its notes, the keeper of its connections, and what an heir does."""
