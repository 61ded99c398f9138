package dev.caroblb.configuration.codec;

import dev.caroblb.configuration.FileChunk;
import dev.caroblb.configuration.PeerMessage;
import dev.caroblb.configuration.Publish;
import dev.caroblb.configuration.PublishAnswer;
import dev.caroblb.configuration.PublishOutcome;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.MessageCodec;
import dev.caroblb.core.Payload;
import java.util.Optional;

/** Encodes the messages between configuration duties as version, kind and fields. */
public final class PeerMessageCodec implements MessageCodec<PeerMessage> {
  private static final int VERSION = 1;
  private static final int RENEW_REQUEST = 1;
  private static final int RENEW_ANSWER = 2;
  private static final int LEADER_HINT = 3;
  private static final int PUBLISH_FORWARD = 4;
  private static final int PUBLISH_REPLY = 5;

  @Override
  public Payload encode(PeerMessage message) {
    FieldWriter writer = new FieldWriter().number(VERSION);
    if (message instanceof PeerMessage.RenewRequest renewRequest) {
      write(writer.number(RENEW_REQUEST), renewRequest);
    } else if (message instanceof PeerMessage.RenewAnswer renewAnswer) {
      write(writer.number(RENEW_ANSWER), renewAnswer);
    } else if (message instanceof PeerMessage.LeaderHint leaderHint) {
      Optional<InstanceId> leader = leaderHint.leader();
      writer.number(LEADER_HINT).optionalText(leader.map(InstanceId::name));
    } else if (message instanceof PeerMessage.PublishForward publishForward) {
      write(writer.number(PUBLISH_FORWARD), publishForward);
    } else if (message instanceof PeerMessage.PublishReply publishReply) {
      write(writer.number(PUBLISH_REPLY), publishReply);
    }
    return writer.payload();
  }

  private static void write(FieldWriter writer, PeerMessage.RenewRequest request) {
    writer.text(request.incarnation()).number(request.sequence()).number(request.installed());
    CommonFields.writeCursor(writer, request.cursor());
  }

  private static void write(FieldWriter writer, PeerMessage.RenewAnswer answer) {
    writer.text(answer.incarnation()).number(answer.sequence()).number(answer.number());
    FileChunk chunk = answer.chunk();
    CommonFields.writeCursor(writer, chunk.after());
    writer.list(chunk.files(), file -> CommonFields.writeFile(writer, file));
    CommonFields.writeCursor(writer, chunk.next());
    writer.flag(chunk.last());
  }

  private static void write(FieldWriter writer, PeerMessage.PublishForward forward) {
    Publish publish = forward.publish();
    writer.text(forward.incarnation()).number(forward.id());
    writer.number(publish.number()).text(publish.request());
    writer.list(publish.files(), file -> CommonFields.writeFile(writer, file));
  }

  private static void write(FieldWriter writer, PeerMessage.PublishReply reply) {
    PublishAnswer answer = reply.answer();
    writer.text(reply.incarnation()).number(reply.id());
    writer.number(answer.number()).text(answer.outcome().name());
    writer.texts(answer.files()).text(answer.detail());
    writer.list(answer.errors(), error -> CommonFields.writeError(writer, error));
  }

  @Override
  public Optional<PeerMessage> decode(Payload bytes) {
    return FieldReader.decode(bytes, PeerMessageCodec::read);
  }

  private static PeerMessage read(FieldReader reader) {
    long version = reader.longValue();
    if (version != VERSION) {
      throw new FieldReader.MalformedException("unknown version " + version);
    }
    int kind = reader.intValue();
    switch (kind) {
      case RENEW_REQUEST:
        return new PeerMessage.RenewRequest(
            reader.text(), reader.longValue(), reader.longValue(), CommonFields.readCursor(reader));
      case RENEW_ANSWER:
        return new PeerMessage.RenewAnswer(
            reader.text(), reader.longValue(), reader.longValue(), readChunk(reader));
      case LEADER_HINT:
        return new PeerMessage.LeaderHint(reader.optionalText().map(InstanceId::new));
      case PUBLISH_FORWARD:
        return new PeerMessage.PublishForward(
            reader.text(),
            reader.longValue(),
            new Publish(reader.longValue(), reader.text(), reader.list(CommonFields::readFile)));
      case PUBLISH_REPLY:
        return new PeerMessage.PublishReply(reader.text(), reader.longValue(), readAnswer(reader));
      default:
        throw new FieldReader.MalformedException("unknown kind " + kind);
    }
  }

  private static FileChunk readChunk(FieldReader reader) {
    return new FileChunk(
        CommonFields.readCursor(reader),
        reader.list(CommonFields::readFile),
        CommonFields.readCursor(reader),
        reader.flag());
  }

  private static PublishAnswer readAnswer(FieldReader reader) {
    return new PublishAnswer(
        reader.longValue(),
        PublishOutcome.valueOf(reader.text()),
        reader.texts(),
        reader.text(),
        reader.list(CommonFields::readError));
  }
}
