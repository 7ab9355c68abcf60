"""Pure decisions on forwarded requests: placing, repeating, merging.

No module here has a socket or a clock; ``decider.ForwardDecider`` is the one
that others call.
"""
