"""Scripted scenarios ("days"), their recorded traces, and the judge that checks a trace against the five rules."""
