// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/net/peer.hpp"

#include "pepperturn/codec/wire.hpp"

#include <capnp/rpc-twoparty.h>
#include <cstdint>
#include <deque>
#include <fstream>
#include <kj/async-io.h>
#include <kj/async-unix.h>
#include <kj/compat/tls.h>
#include <mutex>
#include <sstream>
#include <sys/eventfd.h>
#include <unistd.h>
#include <unordered_map>

namespace pepperturn {

namespace {

std::string text_of(capnp::Text::Reader text)
{
    return {text.cStr(), text.size()};
}

/// Keeps an RPC's results alive until the handler decides.
template <class Context>
std::pair<kj::Promise<void>, decision_done> deferred(Context context)
{
    auto paf = kj::newPromiseAndFulfiller<void>();
    auto fulfiller = std::make_shared<kj::Own<kj::PromiseFulfiller<void>>>(
        kj::mv(paf.fulfiller));
    auto results = std::make_shared<Context>(context);
    decision_done done = [fulfiller, results](const decision& value) {
        if (!(*fulfiller)->isWaiting())
            return;
        codec::write(value, results->getResults().initDecision());
        (*fulfiller)->fulfill();
    };
    return {kj::mv(paf.promise), std::move(done)};
}

class peer_server final : public wire::Peer::Server
{
public:
    explicit peer_server(peer_handler& handler) : m_handler(handler) {}

protected:
    kj::Promise<void> submit(SubmitContext context) override
    {
        const auto params = context.getParams();
        call_submitted submitted{codec::read(params.getRequest()), {}};
        if (params.getHasReport())
            submitted.m_adopted_report = codec::read(params.getReport());
        auto [promise, done] = deferred(context);
        m_handler.on_peer_submit(std::move(submitted), std::move(done));
        return kj::mv(promise);
    }

    kj::Promise<void> heartbeat(HeartbeatContext context) override
    {
        const auto mine = m_handler.on_peer_heartbeat(
            codec::read(context.getParams().getBeat()));
        codec::write(mine, context.getResults().initBeat());
        return kj::READY_NOW;
    }

    kj::Promise<void> query(QueryContext context) override
    {
        const auto params = context.getParams();
        context.getResults().setJson(m_handler.on_peer_query(
            text_of(params.getVerb()), text_of(params.getArgument())));
        return kj::READY_NOW;
    }

    kj::Promise<void> config(ConfigContext context) override
    {
        context.getResults().setText(
            m_handler.on_peer_config(context.getParams().getAfter()));
        return kj::READY_NOW;
    }

    kj::Promise<void> cancel(CancelContext context) override
    {
        const auto params = context.getParams();
        m_handler.on_peer_cancel(text_of(params.getCall()),
                                 params.getAttempt());
        return kj::READY_NOW;
    }

    kj::Promise<void> endProgram(EndProgramContext context) override
    {
        const auto params = context.getParams();
        program_end_requested request{text_of(params.getCall()),
                                      text_of(params.getEntryVm()),
                                      codec::read(params.getProgram())};
        auto [promise, done] = deferred(context);
        m_handler.on_peer_end_program(std::move(request), std::move(done));
        return kj::mv(promise);
    }

    kj::Promise<void> resolve(ResolveContext context) override
    {
        const auto params = context.getParams();
        resolve_requested request{
            text_of(params.getCall()), text_of(params.getEntryVm()),
            codec::read(params.getSession()), params.getSeq(),
            codec::read_outcome(params.getOutcome())};
        auto [promise, done] = deferred(context);
        m_handler.on_peer_resolve(std::move(request), std::move(done));
        return kj::mv(promise);
    }

private:
    peer_handler& m_handler;
};

std::string read_file(const std::string& name)
{
    std::ifstream input(name);
    std::ostringstream text;
    text << input.rdbuf();
    return text.str();
}

kj::Own<kj::TlsContext> make_tls(const tls_settings& settings)
{
    kj::TlsContext::Options options;
    options.useSystemTrustStore = false;
    options.verifyClients = true;
    const auto authority = read_file(settings.m_rpc_authority);
    kj::TlsCertificate trusted(authority.c_str());
    options.trustedCertificates = kj::arrayPtr(&trusted, 1);
    const auto key = read_file(settings.m_rpc_key);
    const auto certificate = read_file(settings.m_rpc_certificate);
    kj::TlsKeypair pair{kj::TlsPrivateKey(key.c_str()),
                        kj::TlsCertificate(certificate.c_str())};
    options.defaultKeypair = pair;
    return kj::heap<kj::TlsContext>(kj::mv(options));
}

/// One connection to a peer; calls fail together with it.
struct connection
{
    kj::Own<kj::AsyncIoStream> m_stream;
    kj::Own<capnp::TwoPartyClient> m_rpc;
};

class loop final : public peer_loop, private kj::TaskSet::ErrorHandler
{
public:
    explicit loop(const tls_settings& tls)
        : m_io(kj::setupAsyncIo()), m_network(&m_io.provider->getNetwork()),
          m_tasks(*this), m_event_fd(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
    {
        if (!tls.m_rpc_key.empty())
        {
            m_tls = make_tls(tls);
            m_tls_network = m_tls->wrapNetwork(*m_network);
            m_network = m_tls_network.get();
        }
    }

    ~loop() noexcept override
    {
        m_connections.clear();
        ::close(m_event_fd);
    }

    void post(std::function<void()> work) override
    {
        {
            const std::lock_guard lock(m_mutex);
            m_posted.push_back(std::move(work));
        }
        wake();
    }

    void after(milliseconds delay, std::function<void()> work) override
    {
        m_tasks.add(m_io.provider->getTimer()
                        .afterDelay(delay.count() * kj::MILLISECONDS)
                        .then([this, work = std::move(work)] {
                            work();
                            turn_done();
                        }));
    }

    void run(std::function<void()> after_each) override
    {
        m_after_each = std::move(after_each);
        kj::UnixEventPort::FdObserver observer(
            m_io.unixEventPort, m_event_fd,
            kj::UnixEventPort::FdObserver::OBSERVE_READ);
        while (!m_stopped)
        {
            observer.whenBecomesReadable().wait(m_io.waitScope);
            std::uint64_t count = 0;
            const auto size = ::read(m_event_fd, &count, sizeof(count));
            if (size > 0)
                run_posted();
        }
    }

    void stop() override
    {
        post([this] { m_stopped = true; });
    }

    std::uint32_t listen(const std::string& host, std::uint32_t port,
                         peer_handler& handler, std::string& reason) override
    {
        std::uint32_t opened = 0;
        m_handler = &handler;
        m_server =
            kj::heap<capnp::TwoPartyServer>(kj::heap<peer_server>(handler));
        const auto failure = kj::runCatchingExceptions([&] {
            auto address =
                m_network->parseAddress(host, port).wait(m_io.waitScope);
            m_receiver = address->listen();
            opened = m_receiver->getPort();
            m_tasks.add(m_server->listen(*m_receiver));
        });
        KJ_IF_MAYBE (error, failure)
            reason = error->getDescription().cStr();
        return opened;
    }

    void submit(const std::string& address, const call_submitted& submitted,
                decision_callback done) override
    {
        with_peer(
            address,
            [submitted](wire::Peer::Client peer) {
                auto request = peer.submitRequest();
                codec::write(submitted.m_request, request.initRequest());
                request.setHasReport(submitted.m_adopted_report.has_value());
                if (submitted.m_adopted_report)
                    codec::write(*submitted.m_adopted_report,
                                 request.initReport());
                return request.send().then([](auto&& response) {
                    return codec::read(response.getDecision());
                });
            },
            std::move(done));
    }

    void beat(const std::string& address, const heartbeat& mine,
              std::function<void(std::optional<heartbeat>)> done) override
    {
        with_peer(
            address,
            [mine](wire::Peer::Client peer) {
                auto request = peer.heartbeatRequest();
                codec::write(mine, request.initBeat());
                return request.send().then([](auto&& response) {
                    return std::optional(codec::read(response.getBeat()));
                });
            },
            std::move(done));
    }

    void query(const std::string& address, const std::string& verb,
               const std::string& argument, text_done done) override
    {
        with_peer(
            address,
            [verb, argument](wire::Peer::Client peer) {
                auto request = peer.queryRequest();
                request.setVerb(verb);
                request.setArgument(argument);
                return request.send().then([](auto&& response) {
                    return std::optional(text_of(response.getJson()));
                });
            },
            std::move(done));
    }

    void fetch_config(const std::string& address, std::uint64_t after_revision,
                      text_done done) override
    {
        with_peer(
            address,
            [after_revision](wire::Peer::Client peer) {
                auto request = peer.configRequest();
                request.setAfter(after_revision);
                return request.send().then([](auto&& response) {
                    return std::optional(text_of(response.getText()));
                });
            },
            std::move(done));
    }

    void cancel(const std::string& address, const call_id& call,
                std::uint32_t attempt) override
    {
        with_peer(
            address,
            [call, attempt](wire::Peer::Client peer) {
                auto request = peer.cancelRequest();
                request.setCall(call);
                request.setAttempt(attempt);
                return request.send().then(
                    [](auto&&) { return std::optional(true); });
            },
            std::function<void(std::optional<bool>)>(
                [](std::optional<bool>) {}));
    }

    void end_program(const std::string& address,
                     const program_end_requested& asked,
                     decision_callback done) override
    {
        with_peer(
            address,
            [asked](wire::Peer::Client peer) {
                auto request = peer.endProgramRequest();
                request.setCall(asked.m_call);
                request.setEntryVm(asked.m_entry_vm);
                codec::write(asked.m_key, request.initProgram());
                return request.send().then([](auto&& response) {
                    return codec::read(response.getDecision());
                });
            },
            std::move(done));
    }

    void resolve(const std::string& address, const resolve_requested& asked,
                 decision_callback done) override
    {
        with_peer(
            address,
            [asked](wire::Peer::Client peer) {
                auto request = peer.resolveRequest();
                request.setCall(asked.m_call);
                request.setEntryVm(asked.m_entry_vm);
                codec::write(asked.m_session, request.initSession());
                request.setSeq(asked.m_seq);
                request.setOutcome(static_cast<std::uint8_t>(asked.m_outcome));
                return request.send().then([](auto&& response) {
                    return codec::read(response.getDecision());
                });
            },
            std::move(done));
    }

    void disconnect(const std::string& address) override
    {
        m_connections.erase(address);
    }

private:
    void wake() const
    {
        const std::uint64_t one = 1;
        // A full counter is already a wake-up.
        [[maybe_unused]] const auto size =
            ::write(m_event_fd, &one, sizeof(one));
    }

    void run_posted()
    {
        std::deque<std::function<void()>> work;
        {
            const std::lock_guard lock(m_mutex);
            work.swap(m_posted);
        }
        for (const auto& entry : work)
            entry();
        turn_done();
    }

    void turn_done()
    {
        if (m_after_each)
            m_after_each();
    }

    /// Calls the peer, connecting if need be. Whatever goes wrong ends in an
    /// empty result and a fresh connection next time.
    template <class Call, class Done>
    void with_peer(const std::string& address, Call call, Done done)
    {
        auto shared_done = std::make_shared<Done>(std::move(done));
        auto promise =
            connect(address)
                .then(
                    [call = std::move(call)](wire::Peer::Client peer) mutable {
                        return call(kj::mv(peer));
                    })
                .then(
                    [this, shared_done](auto&& value) {
                        (*shared_done)(std::forward<decltype(value)>(value));
                        turn_done();
                    },
                    [this, shared_done](const kj::Exception&) {
                        (*shared_done)({});
                        turn_done();
                    });
        m_tasks.add(kj::mv(promise));
    }

    kj::Promise<wire::Peer::Client> connect(const std::string& address)
    {
        const auto found = m_connections.find(address);
        if (found != m_connections.end())
            return found->second->m_rpc->bootstrap().castAs<wire::Peer>();
        return m_network->parseAddress(address)
            .then([](kj::Own<kj::NetworkAddress> parsed) {
                auto promise = parsed->connect();
                return promise.attach(kj::mv(parsed));
            })
            .then([this, address](
                      kj::Own<kj::AsyncIoStream> stream) -> wire::Peer::Client {
                // Another call may have connected meanwhile.
                auto& target = m_connections[address];
                if (target == nullptr)
                {
                    target = std::make_unique<connection>();
                    target->m_stream = kj::mv(stream);
                    target->m_rpc =
                        kj::heap<capnp::TwoPartyClient>(*target->m_stream);
                    forget_when_broken(address, *target);
                }
                return target->m_rpc->bootstrap().castAs<wire::Peer>();
            });
    }

    void forget_when_broken(const std::string& address, connection& broken)
    {
        const auto* which = &broken;
        m_tasks.add(broken.m_rpc->onDisconnect().then([this, address, which] {
            // Not from inside the connection's own event.
            post([this, address, which] {
                const auto found = m_connections.find(address);
                if (found != m_connections.end() &&
                    found->second.get() == which)
                    m_connections.erase(found);
            });
        }));
    }

    void taskFailed(kj::Exception&&) override
    {
        // Every task handles its own failure; what is left is a connection
        // that a peer closed.
    }

    kj::AsyncIoContext m_io;
    kj::Own<kj::TlsContext> m_tls;
    kj::Own<kj::Network> m_tls_network;
    kj::Network* m_network;
    peer_handler* m_handler = nullptr;
    kj::Own<kj::ConnectionReceiver> m_receiver;
    kj::Own<capnp::TwoPartyServer> m_server;
    std::unordered_map<std::string, std::unique_ptr<connection>> m_connections;
    kj::TaskSet m_tasks;
    std::function<void()> m_after_each;
    bool m_stopped = false;
    std::mutex m_mutex;
    std::deque<std::function<void()>> m_posted;
    int m_event_fd;
};

} // namespace

std::unique_ptr<peer_loop> make_peer_loop(const tls_settings& tls,
                                          std::string& reason)
{
    std::unique_ptr<peer_loop> out;
    const auto failure =
        kj::runCatchingExceptions([&] { out = std::make_unique<loop>(tls); });
    KJ_IF_MAYBE (error, failure)
        reason = error->getDescription().cStr();
    return out;
}

} // namespace pepperturn
