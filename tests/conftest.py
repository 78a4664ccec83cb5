"""The same verdict every time: generated cases are drawn from a fixed seed."""

from hypothesis import settings

settings.register_profile("fixed", derandomize=True, deadline=None, database=None)
settings.load_profile("fixed")
