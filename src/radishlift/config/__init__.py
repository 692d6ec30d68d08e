"""The configuration document: validation, storage and distribution."""
