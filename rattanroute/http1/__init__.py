"""HTTP/1.1 clients and servers that forward messages byte for byte."""
