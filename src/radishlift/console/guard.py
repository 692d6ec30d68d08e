"""Protects changes by a change token and a CSRF value in each form."""

import hashlib
import hmac
import re
import secrets
from collections.abc import Mapping
from typing import Final

from aiohttp import web

COOKIE_NAME: Final = 'radishlift_form'
FORM_FIELD: Final = 'form_value'
TOKEN_FIELD: Final = 'change_token'
STYLE_PATH: Final = '/console/style.css'

SECURITY_HEADERS: Final = {
    'Content-Security-Policy': (
        "default-src 'none'; style-src 'self'; form-action 'self'; "
        "base-uri 'none'; frame-ancestors 'none'"
    ),
    'X-Content-Type-Options': 'nosniff',
    'X-Frame-Options': 'DENY',
    'Referrer-Policy': 'no-referrer',
    'Cross-Origin-Opener-Policy': 'same-origin',
    'Cross-Origin-Resource-Policy': 'same-origin',
    'Cache-Control': 'no-store',
}

_COOKIE_BYTES: Final = 24
_COOKIE_PATTERN: Final = re.compile('[A-Za-z0-9_-]{32}')


class ConsoleGuard:
    """Checks the change token and the CSRF values of forms.

    The value of a form is a keyed hash of the browser's random cookie and the
    form's name. The key is derived from the change token, which all daemons
    share, since a form may be served by one daemon and posted to another.
    """

    def __init__(self, change_token: str) -> None:
        self._token = change_token
        key = change_token or secrets.token_hex(_COOKIE_BYTES)
        self._form_key = hashlib.sha256(f'console form {key}'.encode()).digest()

    @property
    def allows_changes(self) -> bool:
        """Returns whether a change token is configured.

        Without a configured token no token is valid.
        """
        return bool(self._token)

    def browser_cookie(self, request: web.Request) -> str:
        """Returns the browser's random cookie, or a new value without one."""
        cookie = request.cookies.get(COOKIE_NAME, '')
        if _COOKIE_PATTERN.fullmatch(cookie):
            return cookie
        return secrets.token_urlsafe(_COOKIE_BYTES)

    def form_value(self, cookie: str, form_name: str) -> str:
        """Returns the CSRF value that a form of this browser must contain."""
        signed = f'{form_name}\n{cookie}'.encode()
        return hmac.new(self._form_key, signed, 'sha256').hexdigest()

    def is_valid_form(
        self,
        request: web.Request,
        fields: Mapping[str, str],
        form_name: str,
    ) -> bool:
        """Returns whether the console served a form to this browser."""
        cookie = request.cookies.get(COOKIE_NAME, '')
        expected = self.form_value(cookie, form_name)
        given = fields.get(FORM_FIELD, '')
        return bool(cookie) and _is_equal(expected, given)

    def is_valid_token(self, token: str) -> bool:
        """Returns whether a change token is valid."""
        return self.allows_changes and _is_equal(self._token, token)

    def protect(self, response: web.Response, cookie: str) -> web.Response:
        """Sets the cookie and the security headers of a response."""
        response.headers.update(SECURITY_HEADERS)
        response.set_cookie(
            COOKIE_NAME,
            cookie,
            path='/console',
            httponly=True,
            samesite='Strict',
        )
        return response


def _is_equal(expected: str, given: str) -> bool:
    return hmac.compare_digest(
        expected.encode('utf-8', 'surrogatepass'),
        given.encode('utf-8', 'surrogatepass'),
    )


__all__ = (
    'COOKIE_NAME',
    'FORM_FIELD',
    'SECURITY_HEADERS',
    'STYLE_PATH',
    'TOKEN_FIELD',
    'ConsoleGuard',
)
