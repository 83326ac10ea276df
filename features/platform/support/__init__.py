"""Helpers shared by the steps of several features."""
