"""Decisions beside the module, without I/O."""
