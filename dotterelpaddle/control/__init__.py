"""Messages between routers, and the byte budget that bounds them."""
