"""What holds for every run of the tests."""

pytest_plugins = ["tests.known_red"]
