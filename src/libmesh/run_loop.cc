#include "cassiakeel/mesh/run_loop.h"

#include <exception>

namespace cassiakeel::mesh {

void RunLoop(asio::io_context& io_context,
             const std::function<void(const std::string& cause)>& on_error) {
  while (true) {
    try {
      io_context.run();
      return;
    } catch (const std::exception& error) {
      on_error(error.what());
    } catch (...) {
      on_error("unknown exception");
    }
  }
}

}  // namespace cassiakeel::mesh
