// Error values based on Boost.LEAF.
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

/// Category of an Error; each maps to one HTTP status and one exit code of the
/// command line.
enum class ErrorCode {
  Invalid,        ///< The input is invalid; a retry fails in the same way.
  Unauthorized,   ///< The token is missing or invalid.
  NotFound,       ///< The named object does not exist.
  Conflict,       ///< Rejected because of the current state.
  TooLarge,       ///< Exceeds a documented limit.
  Unavailable,    ///< Not performed; may be retried.
  OutcomeUnknown, ///< May have been performed; query it by id.
  Internal,       ///< A defect in the product.
};

/// An error code and a message that names the object concerned.
struct Error {
  ErrorCode m_code = ErrorCode::Internal;
  std::string m_message;
};

/// Returns the lower-case name of `Code`, as used in API error bodies.
const char *errorCodeName(ErrorCode Code);

template <class T> using Result = boost::leaf::result<T>;

/// Creates the error of a Result. `Message` names the object concerned.
inline boost::leaf::error_id makeError(ErrorCode Code, std::string Message) {
  return boost::leaf::new_error(Error{Code, std::move(Message)});
}

/// A value or an Error. Unlike a Result, which passes its Error to an enclosing
/// LEAF handler, it stores the Error.
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

/// Calls `Call`, which returns a Result, and returns its value or its Error.
/// Thread-safe.
template <class Function> auto attempt(Function &&Call) {
  using Value = std::decay_t<decltype(Call().value())>;
  return boost::leaf::try_handle_all(
      [&]() -> Result<Outcome<Value>> {
        BOOST_LEAF_AUTO(Returned, Call());
        return Outcome<Value>(std::move(Returned));
      },
      [](const Error &Failure) { return Outcome<Value>(Failure); },
      [] {
        return Outcome<Value>(
            Error{ErrorCode::Internal, "operation failed without an Error"});
      });
}

} // namespace catkinseam

#endif // CATKINSEAM_BASE_ERROR_H
