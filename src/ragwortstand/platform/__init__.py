"""ragwortstand.platform: adapter for the users' platform.

It translates between the platform's formats and the types of the other
packages. No code outside of it uses the platform's names, and it makes no
decisions on routing, retries or load. The process must not start with this
package's parent folder first on `sys.path`: the standard library has a
module of the same name.
"""
