/// Status codes of HTTP responses.
#pragma once

namespace dotterelcove::http_status {

inline constexpr int kOk = 200;
inline constexpr int kAccepted = 202;
inline constexpr int kBadRequest = 400;
inline constexpr int kUnauthorized = 401;
inline constexpr int kNotFound = 404;
inline constexpr int kMethodNotAllowed = 405;
inline constexpr int kConflict = 409;
inline constexpr int kGone = 410;
inline constexpr int kPreconditionFailed = 412;
inline constexpr int kMisdirectedRequest = 421;
inline constexpr int kUnprocessableContent = 422;
inline constexpr int kTooManyRequests = 429;
inline constexpr int kBadGateway = 502;
inline constexpr int kServiceUnavailable = 503;
inline constexpr int kGatewayTimeout = 504;

}  // namespace dotterelcove::http_status
