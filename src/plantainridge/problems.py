"""Problem documents (RFC 9457) for refusals."""

import json
import math
from typing import Any, Final

from starlette.responses import Response

from plantainridge.refusals import Refusal

PROBLEM_TYPE: Final = 'application/problem+json'


def problem(refusal: Refusal, request_id: str) -> Response:
    """Return the problem response for a refused request."""
    headers = {'x-request-id': request_id}
    if refusal.retry_after_s is None:
        # Stops OpenAI clients from retrying a request that cannot succeed.
        headers['x-should-retry'] = 'false'
    else:
        headers['retry-after'] = str(max(1, math.ceil(refusal.retry_after_s)))
    return Response(json.dumps(problem_body(refusal, request_id)),
                    status_code=refusal.status,
                    headers=headers,
                    media_type=PROBLEM_TYPE)


def problem_body(refusal: Refusal, request_id: str) -> dict[str, Any]:
    """Return the members of a refusal's problem document."""
    return {
        'type': f'urn:plantainridge:{refusal.reason.value}',
        'title': refusal.reason.value.replace('_', ' '),
        'status': refusal.status,
        'detail': refusal.detail,
        'ran': refusal.ran.value,
        'request': request_id,
        # The error object that OpenAI clients expect.
        'error': {
            'message': refusal.detail,
            'type': refusal.reason.value,
            'code': refusal.reason.value,
            'param': None,
        },
    }
