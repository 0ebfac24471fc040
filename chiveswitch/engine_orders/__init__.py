"""Orders to engines and the weight store's client."""
