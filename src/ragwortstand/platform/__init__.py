"""ragwortstand.platform: adapter between the users' platform and the product.

Nothing outside this package knows the platform's names; nothing inside it
decides. The product must not start with this package's parent folder first
on `sys.path`: the standard library has a module of the same name.
"""
