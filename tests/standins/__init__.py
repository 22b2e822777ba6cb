"""Tests of the modules in this folder of the package."""
