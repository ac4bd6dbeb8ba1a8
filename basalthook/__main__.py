"""python -m basalthook"""
from .program.commands import main

main(prog_name="basalthook")
