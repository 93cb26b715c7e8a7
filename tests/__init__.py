"""Tests of ragwortstand."""
