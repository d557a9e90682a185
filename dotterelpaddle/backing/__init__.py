"""The platform's service: transactional table, objects, host list, weights."""
