#ifndef CRANBERRYPLANK_PLATFORM_HTTP_STATUS_H_
#define CRANBERRYPLANK_PLATFORM_HTTP_STATUS_H_

/// HTTP status codes that several clients or servers use.
namespace cranberryplank::http_status {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kGone = 410;
constexpr int kPreconditionFailed = 412;
constexpr int kMisdirected = 421;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

}  // namespace cranberryplank::http_status

#endif  // CRANBERRYPLANK_PLATFORM_HTTP_STATUS_H_
