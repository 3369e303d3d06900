"""Finds the team that a bearer key belongs to."""

import enum
import hashlib
import hmac
from collections.abc import Mapping
from typing import Final

from plantainridge.config import Team
from plantainridge.ids import TeamId

SCHEME: Final = 'bearer'
MAX_KEY_BYTES: Final = 512


class AuthFailure(enum.Enum):
    """Why a request belongs to no team."""

    MISSING = 'the Authorization header holds no bearer key'
    UNKNOWN = 'the bearer key is unknown'


class KeyIndex:
    """Teams by the hash of their key.

    Only hashes are looked up, so that the time of a look-up tells nothing of
    a key; the hash found is then compared in constant time.
    """

    def __init__(self) -> None:
        self.teams: Mapping[TeamId, Team] = {}
        self.by_hash: dict[str, Team] = {}

    def find(self, teams: Mapping[TeamId, Team],
             authorization: str) -> Team | AuthFailure:
        """Returns the team of an `Authorization` header.

        Args:
            teams: The teams in force; indexed anew when they change.
            authorization: The header's value; empty if there is none.
        """
        scheme, _, key = authorization.partition(' ')
        data = key.strip().encode()
        if scheme.lower() != SCHEME or not data:
            return AuthFailure.MISSING
        if len(data) > MAX_KEY_BYTES:
            return AuthFailure.UNKNOWN
        if teams is not self.teams:
            self._index(teams)
        digest = hashlib.sha256(data).hexdigest()
        team = self.by_hash.get(digest)
        if team is None or not hmac.compare_digest(team.key_hash, digest):
            return AuthFailure.UNKNOWN
        return team

    def _index(self, teams: Mapping[TeamId, Team]) -> None:
        self.by_hash = {team.key_hash: team for team in teams.values()}
        self.teams = teams
