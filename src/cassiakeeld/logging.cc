#include "logging.h"

#include <log4cxx/consoleappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>

namespace cassiakeel::node {

void SetUpLogging(const NodeSettings& settings) {
  auto layout = std::make_shared<log4cxx::JSONLayout>();
  auto appender = std::make_shared<log4cxx::ConsoleAppender>(
      layout, log4cxx::ConsoleAppender::getSystemErr());
  auto root = log4cxx::Logger::getRootLogger();
  root->addAppender(appender);
  root->setLevel(log4cxx::Level::toLevel(settings.log_level));
}

}  // namespace cassiakeel::node
