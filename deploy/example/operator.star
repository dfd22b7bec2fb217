# The operator's own file. Each subsystem has a section; what is not given keeps its default.

lab(days = 5, seed = 1)
