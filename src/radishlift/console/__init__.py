"""Web console for operators."""
