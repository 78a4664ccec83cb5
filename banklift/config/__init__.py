"""The operator's file: Jsonnet templates, schema, checks."""
