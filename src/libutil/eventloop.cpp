#include "libutil/eventloop.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <future>
#include <thread>

BASILCHUTE_NAMESPACE_BEGIN

class EventLoop::Impl {
public:
  Impl()
      : m_workGuard(m_context.get_executor()),
        m_thread([this] { m_context.run(); }) {}

  void stop() {
    m_context.stop();
    if (m_thread.joinable())
      m_thread.join();
  }

  void every(milliseconds Interval, std::function<void()> Action) {
    auto Timer = std::make_shared<boost::asio::steady_timer>(m_context);
    startTimer(Timer, Interval,
               std::make_shared<std::function<void()>>(Action));
  }

  boost::asio::io_context &context() { return m_context; }

private:
  void startTimer(const std::shared_ptr<boost::asio::steady_timer> &Timer,
                  milliseconds Interval,
                  const std::shared_ptr<std::function<void()>> &Action) {
    Timer->expires_after(Interval);
    Timer->async_wait([this, Timer, Interval,
                       Action](const boost::system::error_code &Failure) {
      if (Failure)
        return;
      (*Action)();
      startTimer(Timer, Interval, Action);
    });
  }

  boost::asio::io_context m_context;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      m_workGuard;
  std::thread m_thread;
};

EventLoop::EventLoop() : m_impl(std::make_unique<Impl>()) {}
EventLoop::~EventLoop() { stop(); }
void EventLoop::post(std::function<void()> Action) {
  boost::asio::post(m_impl->context(), std::move(Action));
}
void EventLoop::runAfter(milliseconds Delay, std::function<void()> Action) {
  auto Timer =
      std::make_shared<boost::asio::steady_timer>(m_impl->context(), Delay);
  Timer->async_wait([Timer, Action = std::move(Action)](
                        const boost::system::error_code &Failure) {
    if (!Failure)
      Action();
  });
}
void EventLoop::runEvery(milliseconds Interval, std::function<void()> Action) {
  m_impl->every(Interval, std::move(Action));
}
void EventLoop::run(const std::function<void()> &Action) {
  std::promise<void> Done;
  post([&] {
    Action();
    Done.set_value();
  });
  Done.get_future().wait();
}
void EventLoop::stop() { m_impl->stop(); }

BASILCHUTE_NAMESPACE_END
