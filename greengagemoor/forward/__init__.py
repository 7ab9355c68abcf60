"""Pure decisions on forwarded requests: searchers, retries, merging.

No module here uses a socket or a clock; ``decider.ForwardDecider`` is the
public interface. A *leg* is the part of a request that goes to one service, an
*attempt* is one send of a leg to a searcher.
"""
