"""Runs the platform's program from the folder that the build makes."""

from greengagemoor.platform.__main__ import main

main()
