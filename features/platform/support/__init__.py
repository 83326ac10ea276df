"""Support code shared by the steps of several features."""
