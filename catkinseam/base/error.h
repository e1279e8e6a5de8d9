// Errors as values, on top of Boost.LEAF.
//
//   Result<Settings> loadSettings(const std::string &Path);
//   Outcome<Settings> Loaded = attempt([&] { return loadSettings(Path); });
//   if (!Loaded) std::cerr << Loaded.error().m_message;
#ifndef CATKINSEAM_BASE_ERROR_H
#define CATKINSEAM_BASE_ERROR_H

#include <boost/leaf.hpp>
#include <string>
#include <utility>
#include <variant>

namespace catkinseam {

/// What kind of failure an Error is; each maps to one HTTP status and one exit
/// code of the command line.
enum class ErrorCode {
  Invalid,        ///< The input is wrong; sending it again fails again.
  Unauthorized,   ///< The token is missing or wrong.
  NotFound,       ///< The named thing does not exist.
  Conflict,       ///< Refused because of the state it met.
  TooLarge,       ///< Over a documented limit.
  Unavailable,    ///< Did not happen; may be tried again.
  OutcomeUnknown, ///< May or may not have happened; ask by its id.
  Internal,       ///< A fault of the product.
};

/// A failure and a text that names the thing it is about.
struct Error {
  ErrorCode m_code = ErrorCode::Internal;
  std::string m_message;
};

/// Returns the lower-case name of `Code`, as used in API error bodies.
const char *errorCodeName(ErrorCode Code);

template <class T> using Result = boost::leaf::result<T>;

/// Makes the failure of a Result. `Message` names the thing that failed.
inline boost::leaf::error_id makeError(ErrorCode Code, std::string Message) {
  return boost::leaf::new_error(Error{Code, std::move(Message)});
}

/// A value or the Error that took its place; keeps the Error where a Result
/// would hand it to an enclosing handler.
template <class T> class Outcome {
public:
  Outcome(T Value) : m_state(std::move(Value)) {}
  Outcome(Error Failure) : m_state(std::move(Failure)) {}

  explicit operator bool() const { return m_state.index() == 0; }
  const T &value() const { return std::get<0>(m_state); }
  T &value() { return std::get<0>(m_state); }
  const Error &error() const { return std::get<1>(m_state); }

private:
  std::variant<T, Error> m_state;
};

/// Runs `Function`, which returns a Result, and keeps its value or its Error.
/// Thread-safe.
template <class Function> auto attempt(Function &&Call) {
  using Value = std::decay_t<decltype(Call().value())>;
  return boost::leaf::try_handle_all(
      [&]() -> Result<Outcome<Value>> {
        BOOST_LEAF_AUTO(Found, Call());
        return Outcome<Value>(std::move(Found));
      },
      [](const Error &Failure) { return Outcome<Value>(Failure); },
      [] {
        return Outcome<Value>(
            Error{ErrorCode::Internal, "failed without an error value"});
      });
}

} // namespace catkinseam

#endif // CATKINSEAM_BASE_ERROR_H
