"""python -m fleetsim"""
from .cli import main

main()
