"""Messages of the public protocols that the gateway reads or makes; `generate.sh` makes the modules anew."""
