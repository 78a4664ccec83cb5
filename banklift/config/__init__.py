"""The operator's file: evaluates its Jsonnet, checks it, and builds a router from it."""
