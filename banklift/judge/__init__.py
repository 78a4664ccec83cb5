"""Scripted days, taps, traces, and the five rules judged from what crossed the sockets."""
