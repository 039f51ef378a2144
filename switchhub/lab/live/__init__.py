"""The live engine of the lab: real balancer processes between fake servers, discovery and clients.

Started by `lab run --engine live`. All processes listen on loopback and speak the real protocols.
"""
