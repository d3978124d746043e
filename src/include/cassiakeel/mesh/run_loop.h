#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <string>

namespace cassiakeel::mesh {

/// Runs `io_context` until it is stopped or out of work. An exception that
/// leaves one of its handlers ends that handler only: `on_error` gets the cause
/// and the loop goes on, so that one message cannot end the process.
void RunLoop(asio::io_context& io_context,
             const std::function<void(const std::string& cause)>& on_error);

}  // namespace cassiakeel::mesh
