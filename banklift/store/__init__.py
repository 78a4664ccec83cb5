"""Durable storage of small states: safe against crashes, with damage detected."""
